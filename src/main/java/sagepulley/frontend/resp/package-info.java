/**
 * Accepts RESP clients, hosts the engine, and composes the connections to endpoints and to
 * discovery.
 *
 * <p>{@link sagepulley.frontend.resp.RespGateway} owns all parts. Each client connection owns its
 * pending replies, and the request handler owns the commands in flight. Everything runs on one
 * event loop. The public methods that change the state of the gateway hand over to it.
 */
package sagepulley.frontend.resp;
