/**
 * Seeded soaks of one front door: the process that the deploy file starts, under system calls that fail, signals, clock
 * steps and clients that behave badly, with its answers and attempts checked afterwards.
 */
package hopdrum.rig.soak;
