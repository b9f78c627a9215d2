/** Tests of reading the host list. */

import { HostListStandIn } from "@tamarackpath/standins";
import { expect } from "chai";
import { Agent } from "undici";
import { HttpHostList } from "./HttpHostList.js";

describe("HttpHostList", () => {
    let platform: HostListStandIn;

    beforeEach(async () => {
        platform = await HostListStandIn.start();
    });

    afterEach(() => platform.close());

    it("returns the same snapshot while nothing changes, and a new one after a change", async () => {
        platform.set({ id: "t1", role: "engine", zone: "leon", pool: "engines", address: "127.0.0.1:1" });
        const list = new HttpHostList(`${platform.server.url}/hosts`, new Agent());
        const first = (await list.read()).unsafeCoerce();
        expect((await list.read()).unsafeCoerce()).to.equal(first);
        platform.markLeaving("t1");
        const changed = (await list.read()).unsafeCoerce();
        expect(changed.targets.map(target => target.leaving)).to.deep.equal([true]);
    });
});
