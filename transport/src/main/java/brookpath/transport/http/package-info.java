/**
 * The HTTP interface of the programs: resources translate requests for the node,
 * {@link brookpath.transport.http.RequestDispatcher} submits them to its state thread, and
 * {@link brookpath.transport.http.StreamedSession} owns the bounded queue of a listening session and writes its lines
 * out. Requests come on Jetty's threads, responses and streams leave on the dispatcher's; none of them touches the
 * node's state.
 */
package brookpath.transport.http;
