import { RouteKind, type ServingDocument } from "@heroncleat/serving";

/** A configuration document that routes every request to the service `desk`. */
export function testDocument(version: number): ServingDocument {
  return {
    version,
    routes: [{
      name: "all",
      host: "inn.example",
      pathPrefix: "/",
      kind: RouteKind.idempotent,
      targets: [{ service: "desk", weight: 1 }],
      timeout: 1000,
      latencyObjective: 100,
      priority: 1,
      maxAttempts: 2,
      isPublic: true,
      isResumable: false,
    }],
    services: [{ name: "desk", maxConnections: 10 } as never],
    workspaces: undefined as never,
    limits: {
      maxHeaderBytes: 16_384,
      maxBodyBytes: 1000,
      headerTimeout: 3000,
      idleTimeout: 5000,
    },
  };
}
