/** Settings of the entry daemon. They are JSON and are validated before any port is opened. */
package org.lovagerack.settings;
