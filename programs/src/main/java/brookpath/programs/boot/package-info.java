/** Puts a process together from its settings, and starts it. */
package brookpath.programs.boot;
