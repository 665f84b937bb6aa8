/**
 * Frames between the program's own processes (docs/protocols.md, Frames), the event loops and what
 * connections over them share. Bytes to messages and back; never what a message is for.
 *
 * <p>Decoders live on their connection's event loop and own the buffers until a frame is passed on;
 * then its receiver owns both of its buffers. {@link sagepulley.codec.frame.EventLoops} makes loops
 * whose owner is the caller.
 */
package sagepulley.codec.frame;
