/**
 * Finds organisations by the digests of their credentials. It answers each request of a deployment with some 80
 * organisations, so it is built once for each configuration.
 */

import { type CredentialDigest, type OrganisationId } from "../ids.js";
import { type Organisation } from "./Organisation.js";

/** The organisations of one configuration. */
export class OrganisationTable {
    private readonly byCredential = new Map<CredentialDigest, Organisation>();
    private readonly byId = new Map<OrganisationId, Organisation>();

    /** Of two organisations with the same id or credential, the first one counts. */
    constructor(organisations: readonly Organisation[]) {
        for (const organisation of organisations) {
            const named = this.byId.get(organisation.id) ?? organisation;
            this.byId.set(organisation.id, named);
            for (const credential of organisation.credentials) {
                this.byCredential.set(credential, this.byCredential.get(credential) ?? named);
            }
        }
    }

    /** The organisation that a credential belongs to; undefined if the configuration does not have the credential. */
    find(credential: CredentialDigest): Organisation | undefined {
        return this.byCredential.get(credential);
    }

    get(id: OrganisationId): Organisation | undefined {
        return this.byId.get(id);
    }
}
