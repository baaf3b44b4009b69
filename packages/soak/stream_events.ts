const EVENT_COUNT = 6;

/** An event of a stream as its caller received it. */
type StreamEvent = { readonly id: number; readonly version: string };

/** The streams of soak upstreams, whose events name the version that wrote them. */
export const streamEvents = {
  count: EVENT_COUNT,

  /**
   * Lists the events of the stream at a path, which are the same from each
   * upstream of a version, so that any can resume it.
   */
  list(path: string, version: string): string[] {
    const events: string[] = [];
    for (let id = 1; id <= EVENT_COUNT; id += 1) {
      events.push(`id: ${id}\ndata: ${path} part ${id} by ${version}\n\n`);
    }
    return events;
  },

  /**
   * Parses the complete events of a body.
   *
   * @returns Undefined if one belongs to another stream or is damaged.
   */
  parse(path: string, body: string): StreamEvent[] | undefined {
    const blocks = body.split("\n\n").slice(0, -1);
    const events: StreamEvent[] = [];
    for (const block of blocks) {
      const match = /^id: (\d+)\ndata: (\S+) part (\d+) by (\S+)$/.exec(block);
      if (match === null || match[2] !== path || match[1] !== match[3]) {
        return undefined;
      }
      events.push({ id: Number(match[1]), version: match[4]! });
    }
    return events;
  },
};
