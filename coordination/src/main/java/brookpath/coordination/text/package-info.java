/**
 * Validation and formatting of short texts in the handling of callers' requests. Regular expressions and a JSON library
 * would do the same, but a gateway that has just started would use them for the first time while all its clients
 * reconnect, and that first use takes longer than the requests themselves.
 */
package brookpath.coordination.text;
