/**
 * Programs that a trial starts in place of the product: servers with a deliberate fault that the checker must catch,
 * and reference servers that the product's placement is compared with. No option of the product enables these faults.
 */
package hopdrum.rig.faulty;
