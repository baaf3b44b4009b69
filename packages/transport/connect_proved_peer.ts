import { connect, type Socket } from "node:net";
import { FramedSocket } from "./framed_socket.ts";
import { handshake } from "./handshake.ts";

/** A connection of a test that has proved an empty secret. */
type ProvedPeer = { readonly socket: Socket; readonly framed: FramedSocket };

/**
 * Connects a peer for tests that send what `PeerPool` doesn't.
 *
 * @internal
 */
export async function connectProvedPeer(
  port: number,
  host: string,
): Promise<ProvedPeer> {
  const socket = connect(port, host);
  const clientNonce = "c";
  const framed = await new Promise<FramedSocket>((resolve) => {
    let serverNonce = "";
    const framed = new FramedSocket(socket, {
      onMessage: (message) => {
        if (serverNonce !== "") {
          resolve(framed);
          return;
        }
        serverNonce = String((message as { nonce: string }).nonce);
        const nonces = { clientNonce, serverNonce };
        const proof = handshake.prove("", { side: "client", ...nonces });
        framed.send({ nonce: clientNonce, proof });
      },
      onClose: () => {},
    });
  });
  return { socket, framed };
}
