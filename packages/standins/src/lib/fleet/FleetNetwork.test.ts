/** Tests of the cuts between the zones, hosts and platform of a fleet. */

import { expect } from "chai";
import { StandInServer } from "../StandInServer.js";
import { FleetNetwork, type NetworkEndpoint, platformEndpoint } from "./FleetNetwork.js";

const leon: NetworkEndpoint = { id: "leon-1", zone: "leon" };
const otherLeon: NetworkEndpoint = { id: "leon-2", zone: "leon" };
const qro: NetworkEndpoint = { id: "qro-1", zone: "qro" };

async function withNetwork(
    run: (
        network: FleetNetwork,
        canReach: (origin: NetworkEndpoint, destination: NetworkEndpoint) => Promise<boolean>,
    ) => Promise<void>,
): Promise<void> {
    const network = new FleetNetwork();
    const server = new StandInServer();
    server.app.get("/", (unusedReq, res) => void res.setHeader("connection", "close").json({}));
    await server.listen();
    const canReach = async (origin: NetworkEndpoint, destination: NetworkEndpoint): Promise<boolean> => {
        const address = await network.addressOf(origin, destination, server.address);
        return fetch(`http://${address}/`, { signal: AbortSignal.timeout(1500) }).then(res => res.ok, () => false);
    };
    try {
        await run(network, canReach);
    }
    finally {
        await network.close();
        await server.close();
    }
}

describe("FleetNetwork", () => {
    for (const mode of ["reset", "drop"] as const) {
        it(`cuts a zone off in mode ${mode} and restores it`, () =>
            withNetwork(async (network, canReach) => {
                expect(await canReach(leon, qro)).to.equal(true);
                await network.cutZone("leon", mode);
                expect(await canReach(leon, qro)).to.equal(false);
                expect(await canReach(qro, leon)).to.equal(false);
                expect(await canReach(leon, platformEndpoint)).to.equal(false);
                expect(await canReach(leon, otherLeon)).to.equal(true);
                expect(await canReach(qro, platformEndpoint)).to.equal(true);
                await network.restore();
                expect(await canReach(leon, qro)).to.equal(true);
            }));
    }

    it("cuts one pair of hosts off from each other and one host off from the platform", () =>
        withNetwork(async (network, canReach) => {
            await network.cutPeers("leon-1", "leon-2");
            await network.cutPlatform("qro-1");
            expect(await canReach(otherLeon, leon)).to.equal(false);
            expect(await canReach(leon, qro)).to.equal(true);
            expect(await canReach(qro, platformEndpoint)).to.equal(false);
        }));
});
