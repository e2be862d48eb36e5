/** Release notes and the deployment in force. */
package org.lovagerack.notes;
