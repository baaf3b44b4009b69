import type { ServerResponse } from "node:http";
import type { Milliseconds } from "@heroncleat/base";
import { dropInTurns } from "./drop_in_turns.ts";
import { refusalLimits } from "./refusal_limits.ts";
import { refusedConnections } from "./refused_connections.ts";

/**
 * Makes a response the last one of its connection and drops what still arrives
 * unparsed, within limits. Must be called before the head is written.
 *
 * @param maxSilence Time without bytes after which the connection is closed.
 */
export function closeLingering(
  response: ServerResponse,
  maxSilence: Milliseconds = refusalLimits.silence,
): void {
  const { req: incoming } = response;
  const { socket } = incoming;
  response.shouldKeepAlive = false;
  // Without the parser's listener nothing is parsed.
  socket.removeAllListeners("data");
  // Node reads and drops the rest of a body that nobody has begun to read.
  incoming.read(0);
  incoming.pause();
  socket.pause();
  // Node calls this behind the last response of a connection.
  socket.destroySoon = () => {
    if (refusedConnections.has(socket)) {
      return;
    }
    refusedConnections.add(socket);
    socket.end();
    // What has been parsed would hold up what follows.
    incoming.resume();
    const stop = dropInTurns(socket, {
      maxTime: refusalLimits.sendTime,
      maxSilence,
      onLimit: () => socket.destroy(),
    });
    socket.once("close", stop);
  };
}
