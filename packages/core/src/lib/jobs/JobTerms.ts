/**
 * The terms under which a job's tasks run. They come from the job's route and are stored with the job when it is accepted, so
 * that any host can carry it out after its route has been moved or removed.
 */

import { type RouteTable } from "../calls/RouteTable.js";
import { type ConfigRevision, type Instant, type ServiceId } from "../ids.js";
import { type Job } from "./Job.js";

/** The settings that a job's tasks take from its route. */
export interface JobTerms {
    /** Revision of the configuration that they come from. */
    readonly configRevision: ConfigRevision;
    readonly service: ServiceId;
    readonly maxAttempts: number;
    readonly priority: number;
    readonly singleVersion: boolean;
    /** From when on a waiting task may be given up. */
    readonly expiresAt: Instant;
    /** By when all results are due. */
    readonly dueAt: Instant;
}

/**
 * What becomes of a job under a configuration: it runs by its route, or, without one, on the terms that are known of it. A job
 * that cannot run under them is over: its tasks are given up. One about which too little is known is undecided.
 */
export type JobFate =
    | { readonly kind: "by-route" | "by-known-terms" | "over"; readonly terms: JobTerms; }
    | { readonly kind: "undecided"; };

/** A time that has passed at every host. */
const longAgo = 0 as Instant;

/** The terms of a job by its route in the configuration; undefined while that has no route for jobs with a service for it. */
export function termsByRoute(job: Job, routes: RouteTable | undefined): JobTerms | undefined {
    const route = routes?.find(job.host, job.path);
    const service = route?.services[0]?.service;
    // Without its own route, a job's path may match the route of another service with a shorter prefix.
    if (routes === undefined || route?.kind !== "jobs" || service === undefined) {
        return undefined;
    }
    const owner = job.organisation === undefined ? undefined : routes.organisations?.get(job.organisation);
    return {
        configRevision: routes.config.revision,
        service,
        maxAttempts: route.maxAttempts,
        priority: owner?.priority ?? route.priority,
        singleVersion: route.singleVersion,
        expiresAt: (job.submittedAt + route.taskTtlMs) as Instant,
        dueAt: (job.submittedAt + route.jobTargetMs) as Instant,
    };
}

/**
 * Decides on what terms a job runs. `known` are the terms on which it was accepted, or has run; jobs that were stored by
 * earlier software may have none. `isNewerThanJob` tells that the configuration is at least as new as the job's acceptance.
 */
export function decideTerms(
    job: Job,
    known: JobTerms | undefined,
    routes: RouteTable | undefined,
    isNewerThanJob: boolean,
): JobFate {
    if (routes === undefined) {
        return { kind: "undecided" };
    }
    if (known !== undefined && known.configRevision > routes.config.revision) {
        // The job was accepted by a host with a newer configuration than this one.
        return { kind: "by-known-terms", terms: known };
    }
    const terms = termsByRoute(job, routes);
    if (terms !== undefined) {
        return { kind: "by-route", terms };
    }
    if (known !== undefined) {
        return routes.service(known.service) === undefined
            ? { kind: "over", terms: { ...known, expiresAt: longAgo } }
            : { kind: "by-known-terms", terms: known };
    }
    return isNewerThanJob ? { kind: "over", terms: termsOfLostJob(routes) } : { kind: "undecided" };
}

/** Terms on which nothing runs, for a job whose own are not known any more. */
function termsOfLostJob(routes: RouteTable): JobTerms {
    return {
        configRevision: routes.config.revision,
        service: "" as ServiceId,
        maxAttempts: 1,
        priority: 0,
        singleVersion: true,
        expiresAt: longAgo,
        dueAt: longAgo,
    };
}
