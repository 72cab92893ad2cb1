/** Write-ahead log, snapshots and recovery on start, under one data folder. */
package io.siskintrail.storage;
