/**
 * Checks and formats of short texts on the way of callers' requests. Regular expressions and a JSON library would do
 * the same, but a gateway that has just started uses them for the first time while all its clients come back, and then
 * they take it longer than the requests themselves.
 */
package brookpath.coordination.text;
