import { PeerServer } from "@heroncleat/transport";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { decodeDocument } from "../../../platform/decode_document.ts";
import { checkCommand } from "./check_command.ts";

const folder = mkdtempSync(join(tmpdir(), "check-"));
afterAll(() => rmSync(folder, { recursive: true }));

const limits = {
  maxHeaderBytes: 1,
  maxBodyBytes: 1,
  headerTimeoutMs: 1,
  idleTimeoutMs: 1,
};
const sound = JSON.stringify({ version: 1, routes: [], services: [], limits });
const unused = JSON.stringify({
  version: 2,
  routes: [],
  services: [{ name: "s" }],
  limits,
});

function write(name: string, source: string): string {
  const file = join(folder, name);
  writeFileSync(file, source);
  return file;
}

async function check(
  source: string,
  options: {
    against?: string;
    peers?: string;
    isStrict?: boolean;
    json?: boolean;
  } = {},
) {
  const lines: string[] = [];
  const result = await checkCommand({
    args: [write("new.json", source)],
    against: options.against,
    peers: options.peers,
    secretFile: undefined,
    isStrict: options.isStrict ?? false,
    json: options.json ?? false,
    decode: decodeDocument,
    print: (text) => lines.push(text),
  });
  return { code: result.unwrapOr(-1), output: lines.join("\n") };
}

// Guards against scripts that send a document which the check has rejected.
test("exit codes tell errors from warnings", async () => {
  expect((await check(sound)).code).toBe(0);
  expect((await check(unused)).code).toBe(0);
  expect((await check(unused, { isStrict: true })).code).toBe(1);
  expect((await check(sound.replace("1", "-1"))).code).toBe(1);
  // The message of JSON.parse has an excerpt, in which a key may stand.
  const broken = await check('{"k": ["secret"x]}');
  expect(broken.code).toBe(1);
  expect(broken.output).not.toContain("secret");
});

// Guards against a change that is sent unseen.
test("differences are printed as text and as JSON", async () => {
  const against = write("old.json", sound);
  expect((await check(unused, { against })).output).toContain(
    "  ~ document version: 1 -> 2\n  + service s",
  );
  const { output } = await check(unused, { against, json: true });
  expect(JSON.parse(output).differences).toHaveLength(2);
});

// Guards against a comparison with nothing when replicas hold a document.
test("differences from the version that control replicas hold", async () => {
  const address = "127.0.0.1:18967";
  let reply: unknown = { version: 1, source: sound };
  const server = new PeerServer({ address, secret: "", onProblem: () => {} });
  server.serve({ "hub.read_document": () => reply });
  await server.listen();
  try {
    expect((await check(unused, { peers: address })).output).toContain(
      "  + service s",
    );
    reply = "none";
    expect((await check(unused, { peers: address })).output).toContain(
      "No version is in force",
    );
    reply = "unavailable";
    expect((await check(sound, { peers: address })).code).toBe(-1);
  } finally {
    await server.close();
  }
});
