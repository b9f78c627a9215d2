/**
 * Decides whether a request may run for the organisation whose credential it carries. Load: some 80 organisations whose
 * credentials are added and removed while requests arrive at 60 hosts, some of which are cut off from the store or were
 * paused. Such a host must neither run a request with a credential that was removed nor refuse one that was just added,
 * so the decision depends on the time at which its configuration was last shown to be the newest one.
 */

import { type Route } from "../calls/RouteTable.js";
import { type CredentialDigest, type OrganisationId } from "../ids.js";
import { type OrganisationTable } from "./OrganisationTable.js";

/** Bounds on the time from a change of the configuration in the store until hosts must act on it. */
export interface AdmissionLimits {
    /** Milliseconds within which a change of the configuration must be in force. */
    readonly configDeadlineMs: number;
    /** Milliseconds within which a removed credential must be refused; undefined if that is not demanded. */
    readonly revocationMs: number | undefined;
}

/** What the decision about a request depends on. */
export interface AdmissionInputs {
    /** Undefined if the configuration has no organisations. */
    readonly table: OrganisationTable | undefined;
    readonly route: Pick<Route, "isPublic">;
    /** Undefined if the request carries no credential. */
    readonly digest: CredentialDigest | undefined;
    /** Milliseconds since the configuration in force was last known to be the newest one; Infinity without a proof. */
    readonly proofAgeMs: number;
    readonly limits: AdmissionLimits;
}

/** The decision about a request; "unproven" means that the configuration may be out of date. */
export type RequestAdmission =
    | {
        readonly kind: "admitted";
        /** Undefined if the request needs no credential. */
        readonly organisation: OrganisationId | undefined;
        readonly priority: number | undefined;
    }
    | { readonly kind: "unknown-credential"; }
    | { readonly kind: "unproven"; readonly retryAfterMs: number; };

/**
 * Milliseconds by which requests are refused before the bound of a revocation: time from the decision to the sending of
 * the request, and the difference between the clocks of hosts and store.
 */
export const revocationMarginMs = 500;

/** Milliseconds after which a caller should retry while the configuration may be out of date. */
const unprovenRetryAfterMs = 500;

const unproven: RequestAdmission = { kind: "unproven", retryAfterMs: unprovenRetryAfterMs };

/**
 * Whether the configuration in force may lack a change that has to be in force. What depends on that change is then not
 * refused for good: an unknown credential may have been added, and the organisation of a job or the owner of a credential
 * may be known only to a newer configuration.
 */
export function mayBeOutOfDate(proofAgeMs: number, { configDeadlineMs }: AdmissionLimits): boolean {
    return proofAgeMs >= configDeadlineMs;
}

/** Decides about a request that is ready to be forwarded or stored. */
export function admitRequest({ table, route, digest, proofAgeMs, limits }: AdmissionInputs): RequestAdmission {
    if (table === undefined || route.isPublic === true) {
        return { kind: "admitted", organisation: undefined, priority: undefined };
    }
    const found = digest === undefined ? undefined : table.find(digest);
    if (found === undefined) {
        return mayBeOutOfDate(proofAgeMs, limits) ? unproven : { kind: "unknown-credential" };
    }
    const mayBeRevoked = limits.revocationMs !== undefined && proofAgeMs >= limits.revocationMs - revocationMarginMs;
    return mayBeRevoked ? unproven : { kind: "admitted", organisation: found.id, priority: found.priority };
}

/**
 * Whether a caller of `organisation` may read or end a job that `owner` submitted. A job without an organisation is open
 * to all, since it was stored by earlier software or needed no credential.
 */
export function mayAccessJob(owner: OrganisationId | undefined, organisation: OrganisationId | undefined): boolean {
    return owner === undefined || owner === organisation;
}
