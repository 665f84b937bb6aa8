/**
 * Encoding and decoding of RESP2, independent of the meaning of the values. A decoder belongs to
 * one connection and runs on its event loop; everything else is stateless.
 */
package sagepulley.codec.resp;
