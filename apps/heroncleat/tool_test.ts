import { execFile } from "node:child_process";
import { LiveDeployment } from "../heroncleatd/tests/live_deployment.ts";

const live = new LiveDeployment({
  firstPort: 27_000,
  controls: 3,
  entries: 2,
  engines: 2,
  services: 0,
});

beforeAll(() => live.start());
afterAll(() => live.stop());

/** Runs the tool; returns its exit code and its output. */
function run(...args: string[]): Promise<{ code: number; text: string }> {
  const { controls, tokenFile } = live.deployment;
  const control = controls.map((replica) => replica.operatorAddress).join(",");
  const options = ["--control", control, "--token-file", tokenFile];
  const script = "apps/heroncleat/dist/main.js";
  return new Promise((resolve) => {
    execFile(
      process.execPath,
      [script, ...options, ...args],
      (error, stdout, stderr) =>
        resolve({ code: Number(error?.code ?? 0), text: stdout + stderr }),
    );
  });
}

describe("heroncleat", () => {
  test("prints tables by default and JSON with --json", async () => {
    const status = await run("status");
    expect(status.code).toBe(0);
    expect(status.text).toContain("leader");
    expect(status.text).toContain("entry-2");
    const json = await run("groups", "--json");
    expect(JSON.parse(json.text).groups["old"].share).toBe(50);
  });

  test("changes groups, selectors, limits and labels, and records them", async () => {
    const commands = [
      ["drain", "old"],
      ["fill", "new", "--share", "100"],
      ["group-set", "spare", "place=spare"],
      ["selector-set", "late", "--groups", "spare", "model=other"],
      ["limit-set", "bistro", "--weight", "3"],
      ["labels-set", "engine-1", "size=large"],
    ];
    for (const args of commands) {
      const result = await run(...args);
      expect(result).toMatchObject({ code: 0 });
      expect(result.text).toContain("accepted");
    }
    const audit = await run("audit");
    expect(audit.text.match(/demo +accepted/g)!.length).toBeGreaterThan(6);
  });

  test("has separate exit codes for conflicts, refusals and bad usage", async () => {
    expect((await run("drain", "new", "--revision", "0")).code).toBe(3);
    expect((await run("group-remove", "old")).code).toBe(4);
    const unknown = await run("dance");
    expect(unknown.code).toBe(2);
    expect(unknown.text).toContain("Remedy:");
    expect((await run("fill", "new", "--share", "many")).code).toBe(2);
  });

  test("returns the first result for a repeated change ID", async () => {
    const repeated = ["drain", "spare", "--change-id", "the-same-change"];
    const first = await run(...repeated);
    const second = await run(...repeated);
    expect(second.text).toBe(first.text);
  });
});
