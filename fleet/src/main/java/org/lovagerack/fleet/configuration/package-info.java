/** The operator's configuration in force. */
package org.lovagerack.fleet.configuration;
