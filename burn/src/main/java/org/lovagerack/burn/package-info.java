/** Error budgets and burn rates of service-level objectives. */
package org.lovagerack.burn;
