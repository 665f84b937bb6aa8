/**
 * RESP2 between bytes and values, without any knowledge of what a value is for. A decoder belongs
 * to one connection and runs on its event loop; everything else is stateless.
 */
package sagepulley.codec.resp;
