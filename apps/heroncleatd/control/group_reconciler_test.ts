import type { Replica } from "@heroncleat/consensus";
import type { ReplicaMember } from "@heroncleat/schema";
import type { PeerPool } from "@heroncleat/transport";
import type { Log } from "../common/log.ts";
import { GroupReconciler } from "./group_reconciler.ts";
import { MemberDirectory } from "./member_directory.ts";

function memberOf(id: string, port: number): ReplicaMember {
  return {
    id,
    name: `hub-${port}`,
    address: `127.0.0.1:${port}`,
    zone: "a",
    voter: true,
  };
}

describe("a replica that is no member", () => {
  test("asks for the members there are now, and to be one", async () => {
    const founders = [memberOf("founder", 1)];
    const later = memberOf("later", 2);
    const asked: string[] = [];
    const directory = new MemberDirectory({
      founders,
      members: () => founders,
    });
    const pool = {
      call: (address: string, method: string) => {
        asked.push(`${address} ${method}`);
        return Promise.resolve(
          method === "control.join" ? { members: [...founders, later] } : false,
        );
      },
    } as unknown as PeerPool;
    const reconciler = new GroupReconciler({
      self: memberOf("self", 3),
      replica: {
        role: "follower",
        // It follows a leader that isn't among the founders.
        leader: "later",
        members: founders,
      } as unknown as Replica,
      clock: { now: () => 0, steady: () => 0, wall: () => 0 } as never,
      pool,
      log: { debug() {}, info() {}, warn() {}, error() {} } satisfies Log,
      metrics: { increment() {}, gauge() {}, timing() {}, close() {} },
      promised: { machines: 1, zones: 0, regions: 0 },
      regionOf: (zone) => zone,
      seeds: () => ["127.0.0.1:2"],
      changeMembers: () => {},
      directory,
      methodPrefix: "group",
    });
    reconciler.start();
    await new Promise((resolve) => setTimeout(resolve, 450));
    reconciler.stop();
    expect(directory.find("later")).toEqual(later);
    expect(asked).toContain("127.0.0.1:1 group.add_learner");
    expect(asked).toContain("127.0.0.1:2 group.add_learner");
  });
});
