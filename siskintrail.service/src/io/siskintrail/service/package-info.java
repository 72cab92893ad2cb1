/** What every binary shares: settings, log events, the command line frame and the lifecycle. */
package io.siskintrail.service;
