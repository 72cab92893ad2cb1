/** API keys of client accounts. */
package io.siskintrail.router.internal.account;
