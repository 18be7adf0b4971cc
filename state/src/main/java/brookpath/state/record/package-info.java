/** Encoded forms: records of the replicated log, packed fields, and differences between documents. */
package brookpath.state.record;
