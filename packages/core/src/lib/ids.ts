/**
 * Branded identifiers. A brand prevents one kind of id from being passed where another is expected; at run time each is
 * a plain string or number.
 */

declare const brand: unique symbol;

/** A `Base` value that carries the compile-time tag `Name`. */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Identifies an entry host; it does not change while the host's settings stay the same. */
export type HostId = Brand<string, "HostId">;

/** Identifies one run of a host's process: a restarted host keeps its `HostId` and takes a higher incarnation. */
export type Incarnation = Brand<number, "Incarnation">;

/** Identifies an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;

/** Identifies a caller, such as a trainer or the client of a group of people. */
export type CallerId = Brand<string, "CallerId">;

/** Identifies an organisation, a customer whose callers carry its credentials. */
export type OrganisationId = Brand<string, "OrganisationId">;

/** SHA-256 of a credential, in hexadecimal; the credential itself is not kept. */
export type CredentialDigest = Brand<string, "CredentialDigest">;

/** Identifies a target: a model engine, a plain service or a scorer. */
export type TargetId = Brand<string, "TargetId">;

/** Identifies a set of interchangeable targets. */
export type PoolId = Brand<string, "PoolId">;

/** Identifies a rollout service or an answer service. */
export type ServiceId = Brand<string, "ServiceId">;

/** Identifies a training step, uniquely for its caller. */
export type StepId = Brand<string, "StepId">;

/** Identifies one attempt at producing a sample or an answer. */
export type AttemptId = Brand<string, "AttemptId">;

/** Identifies one request of a caller. */
export type RequestId = Brand<string, "RequestId">;

/** Version of the model weights; the trainer publishes versions in increasing order. */
export type WeightVersion = Brand<number, "WeightVersion">;

/**
 * Version of the software that a target runs, as the target names it. It is unrelated to `WeightVersion`, has no order,
 * and belongs to one incarnation of the target.
 */
export type SoftwareVersion = Brand<string, "SoftwareVersion">;

/** Revision number of a configuration document; it only increases. */
export type ConfigRevision = Brand<number, "ConfigRevision">;

/** Identifies one operator change of the configuration, so that its outcome can be found after a lost response. */
export type OperationId = Brand<string, "OperationId">;

/** Revision that the key-value service assigns to a key on each write; 0 means that the key does not exist. */
export type KeyRevision = Brand<number, "KeyRevision">;

/** Identifies a lease granted by the key-value service. */
export type LeaseId = Brand<string, "LeaseId">;

/** Milliseconds since the Unix epoch. */
export type Instant = Brand<number, "Instant">;

/** Tags a plain string or number as the id type that the context expects. */
export function asId<Id extends Brand<string, string> | Brand<number, string>>(
    value: Id extends string ? string : number,
): Id {
    return value as unknown as Id;
}

/** Returns the instant `ms` milliseconds after `start`. */
export function after(start: Instant, ms: number): Instant {
    return (start + ms) as Instant;
}

/** Returns the milliseconds from `now` until `deadline`, at least 0. */
export function msUntil(deadline: Instant, now: Instant): number {
    return Math.max(0, deadline - now);
}

/** Identifies one batch of tasks that a trainer submitted together. */
export type JobId = Brand<string, "JobId">;

/** Identifies one task of a job; a task keeps its id when a later job contains it again. */
export type TaskId = Brand<string, "TaskId">;

/** Identifies the tasks of a job that share a prompt. */
export type GroupId = Brand<string, "GroupId">;

/** Identifies a route of the configuration. */
export type RouteId = Brand<string, "RouteId">;

/** Id of a request to a scoring service. */
export type RewardCallId = Brand<string, "RewardCallId">;
