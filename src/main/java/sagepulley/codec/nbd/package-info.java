/**
 * The codec of the NBD protocol (fixed newstyle negotiation, simple and structured replies) for
 * servers and clients. Names are those of the protocol text; a quoted name in a comment is the
 * title of a section of it. Requests are not interpreted here.
 *
 * <p>Decoder and handshake of a connection run on its event loop and own the buffers until a
 * message is passed on; then its receiver owns them.
 */
package sagepulley.codec.nbd;
