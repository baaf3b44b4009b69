import type { Socket } from "node:net";
import { setTimeout as pause } from "node:timers/promises";
import { testHeaderNames as names } from "../test_header_names.ts";
import { type TestResponder, TestUpstream } from "../test_upstream.ts";

const WRITE_BYTES = 64 * 1024;
/** Upper bound for a test that fails, so that it ends. */
const MAX_WRITTEN_BYTES = 256 * 1024 * 1024;

/** What an upstream writes until it is closed. */
type EndlessResponse = {
  /** Written first; `ATTEMPT` stands for the attempt's identifier. */
  readonly start: string;
  /** Written again and again. */
  readonly repeated: string;
  /** Time between two of them; none if absent. */
  readonly interval?: number;
};

/** What became of one connection. */
type ClosedConnection = {
  /** Bytes that the system took, including those that nobody read. */
  readonly written: number;
  /** Time from the first byte to the close. */
  readonly closedAfter: number;
};

/** An upstream for tests that writes until it is closed. */
export class EndlessUpstream {
  readonly #upstream: TestUpstream;
  readonly connections: ClosedConnection[] = [];

  private constructor(upstream: TestUpstream) {
    this.#upstream = upstream;
  }

  static async start(response: EndlessResponse): Promise<EndlessUpstream> {
    const { repeated, interval } = response;
    const times = interval === undefined
      ? Math.ceil(WRITE_BYTES / repeated.length)
      : 1;
    const bytes = Buffer.from(repeated.repeat(times));
    const respond: TestResponder = ({ message }, socket) => {
      const attempt = String(message.headers[names.attempt]);
      socket.write(response.start.replaceAll("ATTEMPT", attempt));
      void endless.#write(socket, { bytes, interval });
    };
    const endless = new EndlessUpstream(await TestUpstream.start(respond));
    return endless;
  }

  get address(): string {
    return this.#upstream.address;
  }

  get requests(): number {
    return this.#upstream.received.length;
  }

  close(): void {
    this.#upstream.close();
  }

  async #write(
    socket: Socket,
    { bytes, interval }: { bytes: Buffer; interval: number | undefined },
  ): Promise<void> {
    const startedAt = performance.now();
    socket.on("error", () => {});
    socket.once("close", () => {
      this.connections.push({
        written: socket.bytesWritten - socket.writableLength,
        closedAfter: performance.now() - startedAt,
      });
    });
    while (!socket.destroyed && socket.bytesWritten < MAX_WRITTEN_BYTES) {
      const isFlushed = new Promise<void>((resolve) => {
        socket.once("close", resolve);
        socket.write(bytes, () => {
          socket.off("close", resolve);
          resolve();
        });
      });
      await isFlushed;
      if (interval !== undefined) {
        await pause(interval);
      }
    }
  }
}
