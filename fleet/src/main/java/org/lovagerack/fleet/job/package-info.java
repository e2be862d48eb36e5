/** Jobs: their specification, state and stored records. */
package org.lovagerack.fleet.job;
