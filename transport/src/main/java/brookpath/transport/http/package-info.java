/**
 * The HTTP interface of the programs: JAX-RS resources translate HTTP requests into requests to the node,
 * {@link brookpath.transport.http.RequestDispatcher} submits them to its state thread, and
 * {@link brookpath.transport.http.StreamedSession} owns the bounded queue of a listening session and writes its lines
 * to the caller. Requests arrive on Jetty's threads, responses and streams are written on the dispatcher's; none of
 * these threads accesses the node's state.
 */
package brookpath.transport.http;
