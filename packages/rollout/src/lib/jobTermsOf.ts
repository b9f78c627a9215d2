/** The terms under which a job runs, from the route that it was submitted on and the organisation that submitted it. */

import { type Instant, type Job, type JobTerms, type RouteTable } from "@tamarackpath/core";

/** The terms of a job; undefined while the configuration has no route with a service for it. */
export function jobTermsOf(job: Job, routes: RouteTable | undefined): JobTerms | undefined {
    const route = routes?.find(job.host, job.path);
    const service = route?.services[0]?.service;
    if (route === undefined || service === undefined) {
        return undefined;
    }
    const owner = job.organisation === undefined ? undefined : routes?.organisations?.get(job.organisation);
    return {
        service,
        maxAttempts: route.maxAttempts,
        priority: owner?.priority ?? route.priority,
        singleVersion: route.singleVersion,
        expiresAt: (job.submittedAt + route.taskTtlMs) as Instant,
        dueAt: (job.submittedAt + route.jobTargetMs) as Instant,
    };
}
