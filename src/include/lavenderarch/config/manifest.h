// The manifest: the configuration of the whole deployment, written by its operators.
#pragma once

#include "lavenderarch/config/customer_settings.h"
#include "lavenderarch/config/data_centre_settings.h"
#include "lavenderarch/config/service_settings.h"

#include <optional>
#include <string>
#include <vector>

namespace lavenderarch {

/// Immutable, validated manifest. The version is assigned on acceptance and only increases.
class Manifest
{
public:
    Manifest() = default;

    /// Validates `text` against the schema, and then the names for uniqueness. The error lists all
    /// violations of the failed check, each with its JSON pointer.
    static StatusOr<Manifest> parse(const std::string &text);

    /// Parses the stored form {"version": n, "document": {...}}; empty text gives version 0.
    static StatusOr<Manifest> fromStored(const std::string &text);
    std::string stored() const;

    Manifest withVersion(std::int64_t version) const;

    std::int64_t version() const { return m_version; }
    const std::string &deployment() const { return m_deployment; }
    const std::vector<DataCentreSettings> &dataCentres() const { return m_dataCentres; }
    const std::vector<ServiceSettings> &services() const { return m_services; }
    const std::vector<CustomerSettings> &customers() const { return m_customers; }
    /// Weight of tail latency against batch throughput in placement, 0..1.
    double tailWeight() const { return m_tailWeight; }
    const Json &document() const { return m_document; }

    const ServiceSettings *findService(const ServiceName &name) const;
    const CustomerSettings *findCustomer(const CustomerName &name) const;
    const DataCentreSettings *findDataCentre(const DataCentreName &name) const;

    friend bool operator==(const Manifest &, const Manifest &) = default;

private:
    std::int64_t m_version = 0;
    std::string m_deployment;
    std::vector<DataCentreSettings> m_dataCentres;
    std::vector<ServiceSettings> m_services;
    std::vector<CustomerSettings> m_customers;
    double m_tailWeight = 0.5;
    Json m_document;
};

} // namespace lavenderarch
