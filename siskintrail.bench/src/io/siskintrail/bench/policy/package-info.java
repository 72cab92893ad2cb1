/**
 * Drives the decisions of the policy in virtual time: a few routers that exchange their messages
 * directly, scripted callers, and one small fake of an engine's queue.
 */
package io.siskintrail.bench.policy;
