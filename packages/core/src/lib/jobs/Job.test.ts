/** Tests which ids of jobs the store's keys have room for. */

import { expect } from "chai";
import { asId, type JobId } from "../ids.js";
import { isStorable, jobKeys } from "./Job.js";

/** Upper limit of a key of the store in bytes. */
const maxKeyBytes = 200;

describe("The keys of a job", () => {
    // Guards against a job that is refused only when its deadline passes, since the store takes none of its keys.
    it("have room for an id of any script up to their limit in bytes", () => {
        for (const character of ["a", "é", "石"]) {
            for (let length = 1; length < maxKeyBytes; length++) {
                const id = asId<JobId>(character.repeat(length));
                const keys = [jobKeys.open(id), jobKeys.ended(id), jobKeys.openPart(id, 9), jobKeys.chunk(id, 9)];
                const longest = Math.max(...keys.map(key => Buffer.byteLength(key)));
                expect(isStorable(id), `${length} times ${character}`).to.equal(longest <= maxKeyBytes);
            }
        }
    });
});
