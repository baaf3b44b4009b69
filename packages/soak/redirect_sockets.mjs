/**
 * Loaded into each process of a soak: its connections to other VMs go by way of
 * the link proxy, which opens them, delays them, cuts them or lets them fall
 * silent. Nothing else of the process changes.
 *
 * A connection waits, as for a name, until the proxy has reached the target and
 * tells the address at which it holds the other half. So it opens, hangs or is
 * refused as it would without a proxy.
 */
import { connect as connectPlainly, Socket } from "node:net";

const { SOAK_PROXY: proxy, SOAK_HOST: own } = process.env;
const [proxyHost, proxyPort] = (proxy ?? "").split(":");
const originalConnect = Socket.prototype.connect;

Socket.prototype.connect = function (...words) {
  const options = readOptions(words);
  const isOutside = options !== undefined && options.isPlain !== true &&
    /^127\./.test(options.host ?? "") && options.host !== own;
  if (!isOutside) {
    return originalConnect.apply(this, words);
  }
  const target = `${options.host}:${options.port}`;
  const redirected = {
    ...options,
    host: "link.soak",
    port: Number(proxyPort),
    autoSelectFamily: false,
    family: 4,
    lookup: (_name, _options, done) => openLink(target, done),
  };
  const listener = words.at(-1);
  return typeof listener === "function"
    ? originalConnect.call(this, redirected, listener)
    : originalConnect.call(this, redirected);
};

/** Options come as an object, or as the first of a prepared list. */
function readOptions([first]) {
  const options = Array.isArray(first) ? first[0] : first;
  return typeof options === "object" && options !== null ? options : undefined;
}

function openLink(target, done) {
  const asking = connectPlainly({
    host: proxyHost,
    port: Number(proxyPort),
    isPlain: true,
  });
  let reply = "";
  let isDone = false;
  const finish = (error, address) => {
    if (!isDone) {
      isDone = true;
      asking.destroy();
      done(error, address, 4);
    }
  };
  asking.on("connect", () => asking.write(`${own} ${target}\n`));
  asking.on("data", (bytes) => {
    reply += bytes;
    if (!reply.endsWith("\n")) {
      return;
    }
    const address = reply.trim();
    finish(address === "refused" ? createRefusal(target) : null, address);
  });
  asking.on("error", (error) => finish(error));
  asking.on("close", () => finish(createRefusal(target)));
  asking.unref();
}

function createRefusal(target) {
  const error = new Error(`connect ECONNREFUSED ${target}`);
  return Object.assign(error, { code: "ECONNREFUSED" });
}
