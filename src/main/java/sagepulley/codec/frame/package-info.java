/**
 * The frame codec for messages between processes of this program (docs/protocols.md, Frames), and
 * the event loops, timers and connections that use it. Converts bytes to frames and back without
 * interpreting message types.
 *
 * <p>Decoders run on their connection's event loop and own the buffers until a frame is passed on;
 * then its receiver owns both buffers. The caller owns event loops created by {@link
 * sagepulley.codec.frame.EventLoops}.
 */
package sagepulley.codec.frame;
