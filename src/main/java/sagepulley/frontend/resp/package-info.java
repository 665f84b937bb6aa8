/**
 * The RESP gateway: accepts clients, hosts the engine and composes the connections to endpoints and
 * to discovery. {@link sagepulley.frontend.resp.RespGateway} owns all parts; each client connection
 * owns its pending replies, and the request handler the commands in flight. Everything runs on one
 * event loop, except for the public methods of the gateway, which hand over to it.
 */
package sagepulley.frontend.resp;
