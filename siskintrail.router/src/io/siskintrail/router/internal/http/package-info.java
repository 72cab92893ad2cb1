/** HTTP controllers towards callers, endpoints and the balancer. */
@Configuration
@Requires(property = "siskintrail.program", value = "router")
package io.siskintrail.router.internal.http;

import io.micronaut.context.annotation.Configuration;
import io.micronaut.context.annotation.Requires;
