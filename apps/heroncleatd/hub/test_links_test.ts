import { probeUpstream } from "../common/probe_upstream.ts";
import { TestLinks } from "./test_links.ts";

let links: TestLinks;
beforeEach(async () => {
  links = await TestLinks.start();
});
afterEach(() => links.close());

test(
  "a probe over a silent link ends, as it does over a real one",
  async () => {
    links.fail("silent");
    const isReachable = await probeUpstream(
      "127.0.0.1:1",
      (options) => links.connect(options),
    );
    expect(isReachable).toBe(false);
  },
  5000,
);
