/**
 * Preload script that redirects connections to other VMs through the link proxy.
 * The name lookup of a connection asks the proxy to connect to the target first,
 * so that it opens, hangs or is refused as without a proxy.
 */
import { connect as connectSocket, Socket } from "node:net";

const {
  SOAK_PROXY: proxyAddress,
  SOAK_PROXY_PORTS: portCount,
  SOAK_HOST: ownHost,
} = process.env;
const [proxyHost, firstPort] = (proxyAddress ?? "").split(":");
const originalConnect = Socket.prototype.connect;

Socket.prototype.connect = function (...args) {
  const options = readOptions(args);
  const isRemote = options !== undefined && options.isDirect !== true &&
    /^127\./.test(options.host ?? "") && options.host !== ownHost;
  if (!isRemote) {
    return originalConnect.apply(this, args);
  }
  const target = `${options.host}:${options.port}`;
  const redirected = {
    ...options,
    host: "link.soak",
    port: pickPort(),
    autoSelectFamily: false,
    family: 4,
    lookup: (_name, _options, callback) => openLink(target, callback),
  };
  const listener = args.at(-1);
  return typeof listener === "function"
    ? originalConnect.call(this, redirected, listener)
    : originalConnect.call(this, redirected);
};

/** The proxy accepts links at several ports alike. */
function pickPort() {
  return Number(firstPort) + Math.floor(Math.random() * Number(portCount));
}

/** Reads the options from an argument list, or from one that Node normalized. */
function readOptions([first]) {
  const options = Array.isArray(first) ? first[0] : first;
  return typeof options === "object" && options !== null ? options : undefined;
}

/**
 * Asks the proxy to connect to the target. Passes the address at which the
 * proxy accepts this process's half of the link to the lookup callback.
 */
function openLink(target, callback) {
  const proxySocket = connectSocket({
    host: proxyHost,
    port: pickPort(),
    isDirect: true,
  });
  let reply = "";
  let isSettled = false;
  const settle = (error, address) => {
    if (!isSettled) {
      isSettled = true;
      proxySocket.destroy();
      callback(error, address, 4);
    }
  };
  proxySocket.on("connect", () => proxySocket.write(`${ownHost} ${target}\n`));
  proxySocket.on("data", (bytes) => {
    reply += bytes;
    if (!reply.endsWith("\n")) {
      return;
    }
    const address = reply.trim();
    settle(address === "refused" ? createRefusedError(target) : null, address);
  });
  proxySocket.on("error", (error) => settle(error));
  proxySocket.on("close", () => settle(createRefusedError(target)));
  proxySocket.unref();
}

function createRefusedError(target) {
  const error = new Error(`connect ECONNREFUSED ${target}`);
  return Object.assign(error, { code: "ECONNREFUSED" });
}
