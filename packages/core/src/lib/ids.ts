/**
 * Branded identifiers. A brand stops one kind of id from being passed where another is expected; at run time
 * each is a plain string or number.
 */

declare const brand: unique symbol;

/** A `Base` value that carries the compile-time tag `Name`. */
export type Brand<Base, Name extends string> = Base & { readonly [brand]: Name; };

/** Names one entry host for as long as its settings stay the same. */
export type HostId = Brand<string, "HostId">;

/** Names one run of a host's process: a restarted host keeps its `HostId` and takes a higher incarnation. */
export type Incarnation = Brand<number, "Incarnation">;

/** Names an availability zone. */
export type ZoneId = Brand<string, "ZoneId">;

/** Names a caller: a trainer, a contractor's client or a planner's client. */
export type CallerId = Brand<string, "CallerId">;

/** Names a target: a model engine, a plain service or a scorer. */
export type TargetId = Brand<string, "TargetId">;

/** Names a set of interchangeable targets. */
export type PoolId = Brand<string, "PoolId">;

/** Names a rollout service or an answer service. */
export type ServiceId = Brand<string, "ServiceId">;

/** Names a training step, unique within its caller. */
export type StepId = Brand<string, "StepId">;

/** Names one try at producing a sample or an answer. */
export type AttemptId = Brand<string, "AttemptId">;

/** Names one request of a caller. */
export type RequestId = Brand<string, "RequestId">;

/** Version of the model weights; the trainer publishes them in rising order. */
export type WeightVersion = Brand<number, "WeightVersion">;

/** Number of a configuration document; it only rises. */
export type ConfigRevision = Brand<number, "ConfigRevision">;

/** Names one attempt of an operator to change the configuration, so that a lost answer can be settled. */
export type OperationId = Brand<string, "OperationId">;

/** Revision that the key-value service gives to a key on each write; 0 stands for an absent key. */
export type KeyRevision = Brand<number, "KeyRevision">;

/** Names a lease granted by the key-value service. */
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

/** Names one batch of tasks that a trainer submitted at once. */
export type JobId = Brand<string, "JobId">;

/** Names one task of a job; a task keeps its id when it comes again in a later job. */
export type TaskId = Brand<string, "TaskId">;

/** Names the tasks of a job that share a prompt. */
export type GroupId = Brand<string, "GroupId">;

/** Names a route of the configuration. */
export type RouteId = Brand<string, "RouteId">;
