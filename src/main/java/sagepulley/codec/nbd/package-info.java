/**
 * The NBD protocol (fixed newstyle negotiation, simple and structured replies): bytes to messages
 * and back, for a server and for a client. Names are those of the protocol text; a comment in
 * quotes names its section. Nothing here knows what a request is for.
 *
 * <p>Each connection's decoder and handshake live on that connection's event loop and own the
 * buffers until a message is passed on; then its receiver owns them.
 */
package sagepulley.codec.nbd;
