import { request } from "node:http";
import { testHeaderNames as names } from "../gateway/test_header_names.ts";

const HOST_NAME = "inn.example";

let probeCount = 0;

/** Whether a stream begins at an entry (host:port); its rest isn't read. */
export function beginsStream(entry: string): Promise<boolean> {
  const [host, port] = entry.split(":");
  probeCount += 1;
  const headers = { host: HOST_NAME, [names.attempt]: `probe-${probeCount}` };
  return new Promise((resolve) => {
    const outgoing = request(
      { host, port, path: "/", agent: false, headers },
      (response) => {
        resolve(response.statusCode === 200);
        response.destroy();
      },
    );
    outgoing.on("error", () => resolve(false));
    outgoing.end();
  });
}
