/**
 * A proxy that passes bytes on between a machine and the store until `silence` is called: from then on, connections that
 * are open pass nothing on in either direction and are not closed, while new ones work.
 */

import { connect, createServer } from "node:net";

/** A proxy to one address. */
export class SilencingProxy {
    links = new Set();
    server = createServer(socket => this.link(socket));

    async listen(target) {
        [this.host, this.port] = target.split(":");
        await new Promise(done => this.server.listen(0, "127.0.0.1", done));
        this.address = `127.0.0.1:${this.server.address().port}`;
        return this;
    }

    link(socket) {
        const link = { isSilent: false, socket, other: connect(Number(this.port), this.host) };
        this.links.add(link);
        const pass = (from, to) => {
            from.on("data", bytes => link.isSilent || to.write(bytes));
            from.on("error", () => undefined);
            from.on("close", () => {
                if (!link.isSilent) {
                    to.destroy();
                }
                if (from === socket) {
                    link.other.destroy();
                    this.links.delete(link);
                }
            });
        };
        pass(socket, link.other);
        pass(link.other, socket);
    }

    /** Silences the connections that are open; returns how many they are. */
    silence() {
        this.links.forEach(link => {
            link.isSilent = true;
        });
        return this.links.size;
    }

    close() {
        this.server.close();
        this.links.forEach(({ socket, other }) => {
            socket.destroy();
            other.destroy();
        });
    }
}
