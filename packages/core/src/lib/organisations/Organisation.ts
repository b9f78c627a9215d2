/** Organisations as the configuration names them. */

import { type CredentialDigest, type OrganisationId } from "../ids.js";

/** A customer whose callers identify themselves by one of its credentials. */
export interface Organisation {
    readonly id: OrganisationId;
    readonly credentials: readonly CredentialDigest[];
    /** Priority of its requests, 0 first; it takes precedence over that of a route. Undefined if it has none. */
    readonly priority: number | undefined;
}
