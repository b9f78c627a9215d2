/** Tests which requests a host refuses in the last phases of its shutdown. */

import { expect } from "chai";
import express from "express";
import { once } from "node:events";
import { type Server } from "node:http";
import { type AddressInfo } from "node:net";
import { OpenRequests } from "./OpenRequests.js";

describe("OpenRequests", () => {
    let server: Server;
    let requests: OpenRequests;

    beforeEach(async () => {
        requests = new OpenRequests();
        const app = express().use(requests.watch).use((unused, res) => void res.send("served"));
        server = app.listen(0, "127.0.0.1");
        await once(server, "listening");
    });

    afterEach(() => {
        server.close();
        server.closeAllConnections();
    });

    async function statusOf(headers: Record<string, string>): Promise<number> {
        const { port } = server.address() as AddressInfo;
        return (await fetch(`http://127.0.0.1:${port}/`, { method: "POST", headers, body: "x" })).status;
    }

    it("serves requests with a ticket while it waits for open ones", async () => {
        requests.refuseNew();
        expect(await statusOf({})).to.equal(503);
        expect(await statusOf({ "tamarack-ticket": "t" })).to.equal(200);
    });

    // Guards against a request with a ticket that begins while the tasks of the host are being stopped, and is cut.
    it("refuses every request once nothing waits for requests any more", async () => {
        requests.refuseAll();
        expect(await statusOf({})).to.equal(503);
        expect(await statusOf({ "tamarack-ticket": "t" })).to.equal(503);
    });
});
