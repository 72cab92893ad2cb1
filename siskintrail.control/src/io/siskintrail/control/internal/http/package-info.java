/** Controllers of the administration API. */
@Configuration
@Requires(property = "siskintrail.program", value = "control")
package io.siskintrail.control.internal.http;

import io.micronaut.context.annotation.Configuration;
import io.micronaut.context.annotation.Requires;
