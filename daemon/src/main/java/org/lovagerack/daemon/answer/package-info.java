/** Answers of the HTTP interface, also carried by the peer protocol. */
package org.lovagerack.daemon.answer;
