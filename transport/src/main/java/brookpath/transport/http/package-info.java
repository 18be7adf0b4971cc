/**
 * The HTTP interface of the programs: resources translate requests for the node,
 * {@link brookpath.transport.http.RequestDispatcher} brings them to its state thread, and
 * {@link brookpath.transport.http.StreamedSession} writes a listening session's lines out.
 */
package brookpath.transport.http;
