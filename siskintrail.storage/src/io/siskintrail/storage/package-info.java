/**
 * Durable state of a replica under one data folder: a write-ahead log in segments, snapshots and
 * the identity of the disk.
 */
package io.siskintrail.storage;
