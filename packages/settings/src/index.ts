export { checkConfig, isSameConfig } from './checkConfig.js'
export {
  decodeBudget, decodeClass, decodeConfig, decodeDomain, decodeMove, decodePipeline, decodeService, decodeWorkspace,
  encodeBudget, encodeClass, encodeConfig, encodeDomain, encodeMove, encodePipeline, encodeService, encodeWorkspace
} from './codec.js'
export { formatDuration, parseDuration } from './duration.js'
export { EMPTY_CONFIG } from './emptyConfig.js'
export { formatFault } from './faults.js'
export type { SettingsFault } from './faults.js'
export { parseInstanceSettings } from './parseInstanceSettings.js'
export { parseOperatorConfig } from './parseOperatorConfig.js'
export type { Environment, SecretReader } from './secrets.js'
export type * from './types.js'
