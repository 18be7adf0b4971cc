/** Who a process is: its node number, incarnation and machine, and the random numbers that these are drawn from. */
package brookpath.transport.identity;
