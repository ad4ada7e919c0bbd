package vrcodec

import (
	"encoding/json"
	"fmt"

	"verbenaroute.example/verbenacore/vrcatalog"
)

// catalogFormat is the format of encoded catalogs. It is increased when a field of the catalog is added or
// changes its meaning: a build that ignored the field would take the catalog for the newest and decide by
// only part of it.
const catalogFormat = 1

// maxCatalogBytes is the maximum size of a decompressed catalog in bytes. One with 10,000 tenants takes about
// 2 MB.
const maxCatalogBytes = 16 << 20

// CatalogFormatError reports an encoded catalog of another format.
type CatalogFormatError struct{ Format int }

func (e *CatalogFormatError) Error() string {
	return fmt.Sprintf("decode catalog: the format is %d, want %d", e.Format, catalogFormat)
}

// catalogDocument is an encoded catalog.
type catalogDocument struct {
	Format  int                `json:"format"`
	Catalog *vrcatalog.Catalog `json:"catalog"`
}

// EncodeCatalog returns a catalog as compressed JSON.
func EncodeCatalog(catalog *vrcatalog.Catalog) ([]byte, error) {
	document, err := json.Marshal(catalogDocument{Format: catalogFormat, Catalog: catalog})
	if err != nil {
		return nil, fmt.Errorf("encode catalog: %w", err)
	}
	if len(document) > maxCatalogBytes {
		return nil, fmt.Errorf("encode catalog: %w", &SizeError{Limit: maxCatalogBytes})
	}
	return Compress(nil, document), nil
}

// DecodeCatalog decodes, validates and indexes a catalog that EncodeCatalog has encoded.
func DecodeCatalog(data []byte) (*vrcatalog.Catalog, error) {
	document, err := Decompress(data, maxCatalogBytes)
	if err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	decoded := catalogDocument{}
	if err := json.Unmarshal(document, &decoded); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", &DecodeError{Codec: CodecJSON, Problem: err.Error()})
	}
	if decoded.Format != catalogFormat || decoded.Catalog == nil {
		return nil, &CatalogFormatError{Format: decoded.Format}
	}
	if err := decoded.Catalog.Build(); err != nil {
		return nil, fmt.Errorf("decode catalog: %w", err)
	}
	return decoded.Catalog, nil
}
